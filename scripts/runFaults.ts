import { runFaultMatrix, type FaultReport } from '../test/faults/runFaultMatrix.ts';
import { PROMISES } from '../test/faults/PROMISES.ts';
import { runSelfTest } from '../test/faults/runSelfTest.ts';
import { STEPS } from '../test/faults/STEPS.ts';

/*
 * `npm run faults [-- --json] [--self-test] [--seeds 1,2,3]`: injects every fault at every step and
 * checks every promise. Exits 1 if a cell failed that KNOWN-RED.txt does not list, or if the
 * self-test found a check that does not fail under a mutation.
 */
const args = process.argv.slice(2);
const isJson = args.includes('--json');
const seedsText = args[args.indexOf('--seeds') + 1];
const seeds = args.includes('--seeds') && seedsText !== undefined
  ? seedsText.split(',').map(Number) : [1];

/** Faults and steps that the matrix does not run, with the reasons. */
const NOT_RUN = [
  'any fault at a step in a separate process (SIGKILL, SIGSTOP): the matrix runs only the core',
  'faults of the weight store: the core does not call it',
  'loss of an accepted platform write: the platform does not guarantee against it',
  'cost that an upstream bills and no host can learn: only double booking is checked',
];

function printTable({ rows }: FaultReport): void {
  const faults = [...new Set(rows.map(({ fault }) => fault))];
  console.log(`Promises kept of ${PROMISES.length}, by fault and step (* has a failed cell)\n`);
  console.log(`| fault | ${STEPS.join(' | ')} |`);
  console.log(`| --- | ${STEPS.map(() => '---').join(' | ')} |`);
  faults.forEach((fault) => {
    const cells = STEPS.map((step) => {
      const cell = rows.filter((row) => row.fault === fault && row.step === step);
      const passed = cell.filter(({ verdict }) => verdict === 'passed').length;
      return `${passed}/${cell.length}${passed < cell.length ? '*' : ''}`;
    });
    console.log(`| ${fault} | ${cells.join(' | ')} |`);
  });
  rows.filter(({ verdict }) => verdict !== 'passed').forEach((row) => {
    const where = `${row.fault} at ${row.step}, seed ${row.seed}`;
    console.log(`${row.verdict}: ${where}: ${row.promise}: ${row.findings.join('; ')}`);
  });
  console.log(`\nNot run:\n${NOT_RUN.map((line) => `- ${line}`).join('\n')}`);
}

if (args.includes('--self-test')) {
  const rows = seeds.flatMap((seed) => runSelfTest(seed));
  if (isJson) {
    console.log(JSON.stringify({ rows }, null, 2));
  } else {
    rows.forEach((row) => console.log(
      `${row.isCaught ? 'caught' : 'MISSED'}  ${row.mutation.padEnd(20)} ${row.promise}: ${
        row.mutatedFindings[0] ?? 'no finding'}`,
    ));
  }
  process.exitCode = rows.every(({ isCaught }) => isCaught) ? 0 : 1;
} else {
  const report = runFaultMatrix(seeds);
  if (isJson) {
    console.log(JSON.stringify(report));
  } else {
    printTable(report);
    const {
      cases, passed, failed, knownRed,
    } = report;
    console.log(`\n${cases} cases: ${passed} passed, ${failed} failed, ${knownRed} known red`);
  }
  process.exitCode = report.failed > 0 ? 1 : 0;
}
