/** Exit codes of the program; scripts rely on them. */
export const EXIT_CODE = {
  ok: 0,
  /** The command was understood and failed. */
  failed: 1,
  /** The command line, the settings or the intent is wrong. */
  usage: 2,
  /** Another change came first, or the plan has conflicts. */
  conflict: 3,
  /** The host or the platform can't be reached now. */
  unavailable: 4,
} as const;

/** An exit code of the program. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
