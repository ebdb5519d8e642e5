"""Layer plan, token steps, duplicate and gap refusal, resume."""
