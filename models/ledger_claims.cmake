# The ledger and claims models and their mutations.
amaranth_model(ledger holds)
amaranth_model(ledger holds DEPTH=1 CREDITS=3 NO_DRAINING)
amaranth_model(ledger holds DEPTH=1 CREDITS=2)
amaranth_model(ledger holds DEPTH=2 CREDITS=2 NO_DRAINING)
amaranth_model(ledger caught MUTATION_INFLATED_RETURN)
amaranth_model(ledger caught MUTATION_REFUND_LOST)
amaranth_model(ledger caught MUTATION_REPEAT_KEEPS_LOAN)

amaranth_model(claims holds)
amaranth_model(claims holds TICKET)
amaranth_model(claims holds TICKET ASSERT_KEY_NEVER_RAN)
amaranth_model(claims holds ASSERT_KEY_NEVER_RAN DOUBT_ON_UNKNOWN)
amaranth_model(claims caught MUTATION_LEASE)
amaranth_model(claims caught MUTATION_RUN_ON_UNKNOWN)
amaranth_model(claims caught MUTATION_FORGOTTEN_RUNS)
amaranth_model(claims caught TICKET MUTATION_NEW_HOME)
# Answering "not run" for an unknown claim violates the stricter guarantee; the
# code answers "may have run" (DOUBT_ON_UNKNOWN).
amaranth_model(claims caught ASSERT_KEY_NEVER_RAN)
