"""The listener for operators."""
