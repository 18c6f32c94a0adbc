"""The daemon that every entry instance runs."""
