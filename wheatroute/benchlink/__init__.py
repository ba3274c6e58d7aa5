"""Speaks the bench's wire for many instances of the decisions; decides nothing."""
