import type { BenchCell, BenchReport, BenchTable } from './Bench.ts';

const DECIMALS = 4;

function formatCell(cell: BenchCell): string {
  return typeof cell === 'number' ? String(Number(cell.toFixed(DECIMALS))) : String(cell ?? '-');
}

function formatRow(cells: readonly BenchCell[]): string {
  return `| ${cells.map(formatCell).join(' | ')} |`;
}

function printTable(table: BenchTable): void {
  console.log(`\n${table.title}\n`);
  console.log(formatRow(table.columns));
  console.log(formatRow(table.columns.map(() => '---')));
  table.rows.forEach((row) => console.log(formatRow(row)));
}

/**
 * Prints a report as Markdown tables.
 *
 * @param report - report of a benchmark
 */
export function printBenchReport(report: BenchReport): void {
  console.log(`bench ${report.name}, seed ${report.seed}`);
  report.tables.forEach(printTable);
  if (report.targets.length > 0) {
    printTable({
      title: 'Targets',
      columns: ['name', 'target', 'measured', 'met'],
      rows: report.targets.map((each) => [each.name, each.target, each.measured, each.isMet]),
    });
  }
}
