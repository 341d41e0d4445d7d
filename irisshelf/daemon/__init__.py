"""The irisshelfd program."""
