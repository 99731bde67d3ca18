"""Sharing and storage of records of requests under which back ends crashed."""
