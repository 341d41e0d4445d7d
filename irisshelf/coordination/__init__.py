"""Parts that agree through the platform; free of input and output."""
