"""Pure decisions: state, message and time in, actions out."""
