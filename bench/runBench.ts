import { BENCHES } from './BENCHES.ts';
import { printBenchReport } from './printBenchReport.ts';
import { readBenchOptions } from './readBenchOptions.ts';

/*
 * `npm run bench -- list`, `npm run bench -- NAME [--json] [--seed N] [options]`. Exits with 2
 * for an unknown name. A missed target appears in the report and does not change the exit code.
 */
const EXIT_USAGE = 2;

const [name, ...args] = process.argv.slice(2);

if (name === 'list') {
  BENCHES.forEach((entry) => console.log(`${entry.name.padEnd(12)} ${entry.summary}`));
  process.exit(0);
}

const found = BENCHES.find((entry) => entry.name === name);
if (found === undefined) {
  console.error(`Unknown benchmark '${name ?? ''}': 'npm run bench -- list' lists all of them`);
  process.exit(EXIT_USAGE);
}

const options = readBenchOptions(args);
const bench = await found.load();
const report = await bench.run(options);
if (options.flags.has('json')) {
  console.log(JSON.stringify(report));
} else {
  printBenchReport(report);
}
