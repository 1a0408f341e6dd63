"""Implementation of the public modules; import it only from packages of this repository."""
