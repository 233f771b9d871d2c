/** One value of a table. */
export type BenchCell = string | number | boolean | null;

/** A table of measured values. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly BenchCell[])[];
}

/** A stated target beside what was measured. */
export interface BenchTarget {
  readonly name: string;
  /** The bound in words, such as `>= 0.995`. */
  readonly target: string;
  readonly measured: number;
  readonly isMet: boolean;
}

/** What a benchmark gives back. */
export interface BenchReport {
  readonly name: string;
  readonly seed: number;
  readonly tables: readonly BenchTable[];
  readonly targets: readonly BenchTarget[];
}

/** What the command line asked for. */
export interface BenchOptions {
  readonly seed: number;
  /** Every other `--name value` of the command line; a flag without a value has `true`. */
  readonly flags: ReadonlyMap<string, string>;
}

/** A benchmark module. */
export interface BenchModule {
  /**
   * @param options - the seed and the benchmark's own flags
   * @returns the measured tables
   */
  run(options: BenchOptions): Promise<BenchReport>;
}

/** A line in the list of benchmarks. */
export interface BenchEntry {
  readonly name: string;
  /** One line for `npm run bench -- list`. */
  readonly summary: string;
  /** Loads the module only when it is asked for. */
  load(): Promise<BenchModule>;
}
