// Gives property tests one fixed seed, so that each run of CI has the same verdict; PULLEYSTACK_EXPLORE=1 draws a new one in each run.
import fc from 'fast-check'

const SEED = 20_261_204

if (process.env.PULLEYSTACK_EXPLORE === undefined) fc.configureGlobal({ ...fc.readConfigureGlobal(), seed: SEED })
