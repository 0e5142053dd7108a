"""Retry budgets, retry decisions and the quarantine of crashing requests."""
