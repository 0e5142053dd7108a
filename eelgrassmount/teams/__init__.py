"""The teams that share a deployment: their API keys, ranks and quotas."""
