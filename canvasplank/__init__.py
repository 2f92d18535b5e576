"""canvasplank: the decisions of a call controller in front of central servers whose processors run short."""
