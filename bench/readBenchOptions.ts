import type { BenchOptions } from './Bench.ts';

const DEFAULT_SEED = 1;
const FLAG_PREFIX = '--';

/**
 * Parses `--name value` pairs and flags without a value.
 *
 * @param args - the arguments after the benchmark's name
 * @returns the seed (1 when none is given) and the other flags
 */
export function readBenchOptions(args: readonly string[]): BenchOptions {
  const flags = new Map<string, string>();
  args.forEach((arg, index) => {
    if (!arg.startsWith(FLAG_PREFIX)) {
      return;
    }
    const next = args[index + 1];
    const hasValue = next !== undefined && !next.startsWith(FLAG_PREFIX);
    flags.set(arg.slice(FLAG_PREFIX.length), hasValue ? next : 'true');
  });
  return { seed: Number(flags.get('seed') ?? DEFAULT_SEED), flags };
}
