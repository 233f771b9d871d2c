/** Exit codes of the program; scripts rely on them. */
export const EXIT_CODE = {
  ok: 0,
  /** The command line is valid and the command failed. */
  failed: 1,
  /** The command line, the settings or the intent is invalid. */
  usage: 2,
  /** The configuration changed after the plan was made, or the plan has conflicts. */
  conflict: 3,
  /** The host or the platform can't be reached. */
  unavailable: 4,
} as const;

/** Exit code of the program. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
