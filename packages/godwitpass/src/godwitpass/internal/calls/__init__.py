"""What the edge does with a call: outcomes, deadlines and the dispatcher of one service."""
