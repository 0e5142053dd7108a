"""Teams that share a deployment: API keys, priorities and quotas."""
