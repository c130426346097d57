# The quota model and its mutations.
amaranth_model(quota holds)
amaranth_model(quota caught MUTATION_FULL_BUCKET)
amaranth_model(quota caught MUTATION_KEEPS_TOKENS)
amaranth_model(quota caught MUTATION_LOAN_NOT_TAKEN_OFF)
amaranth_model(quota caught MUTATION_OWN_PART_UNLIMITED)
# A home that resumes beside a new one has its old tokens: without the allowance
# for them the bound does not hold.
amaranth_model(quota caught MUTATION_RESUME_UNCOUNTED)
