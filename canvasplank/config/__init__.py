"""The configuration: its files, the platform's settings, discovery events and addresses."""
