/** A value in a table cell. */
export type BenchCell = string | number | boolean | null;

/** A table of measured values. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly BenchCell[])[];
}

/** A target and the value measured for it. */
export interface BenchTarget {
  readonly name: string;
  /** The bound as text, such as `>= 0.995`. */
  readonly target: string;
  readonly measured: number;
  readonly isMet: boolean;
}

/** The result of a benchmark. */
export interface BenchReport {
  readonly name: string;
  readonly seed: number;
  readonly tables: readonly BenchTable[];
  readonly targets: readonly BenchTarget[];
}

/** Options from the command line. */
export interface BenchOptions {
  readonly seed: number;
  /** All other `--name value` flags; the value of a flag without one is `true`. */
  readonly flags: ReadonlyMap<string, string>;
}

/** A benchmark module. */
export interface BenchModule {
  /**
   * Runs the benchmark.
   *
   * @param options - the seed and the benchmark's own flags
   * @returns the report
   */
  run(options: BenchOptions): Promise<BenchReport>;
}

/** An entry in the list of benchmarks. */
export interface BenchEntry {
  readonly name: string;
  /** The description that `npm run bench -- list` prints. */
  readonly summary: string;
  /** Loads the module on demand. */
  load(): Promise<BenchModule>;
}
