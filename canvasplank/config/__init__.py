"""What the program is configured with: its file, the platform's settings, discovery events and addresses."""
