"""The fault matrix: every fault at every step, judged from outside."""
