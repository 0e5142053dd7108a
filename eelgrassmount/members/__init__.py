"""Knowledge of other nodes."""
