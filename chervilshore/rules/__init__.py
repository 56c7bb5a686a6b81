"""The operators' rules: the rules file, its checks and its generations."""
