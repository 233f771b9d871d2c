import type { CommandModule } from 'yargs';
import { COST_GROUPING, type CostGrouping, type CostReport } from '../../operators/CostReport.ts';
import type { CliContext } from '../CliContext.ts';
import { formatTable } from '../formatTable.ts';
import { formatMoney } from '../../lib/formatValues.ts';
import { addRemoteOptions, createOperatorClient, type RemoteArguments } from '../remoteOptions.ts';

interface CostArguments extends RemoteArguments {
  readonly by: CostGrouping;
}

function formatCost(report: CostReport): string {
  const rows = report.rows
    .map((row) => [row.name, row.attemptCount, formatMoney(row.costMicros)]);
  const table = formatTable([report.by, 'attempts', 'cost'], rows);
  const warning = report.isWholeFleet
    ? ''
    : 'only what this host booked: the platform does not answer\n';
  return `${table}total ${formatMoney(report.totalMicros)}\n${warning}`;
}

/**
 * @param context - of the command line
 * @returns the command `cost`
 */
export function createCostCommand({ io }: CliContext): CommandModule<object, CostArguments> {
  return {
    command: 'cost',
    describe: 'show the booked cost',
    builder: (parser) => addRemoteOptions(parser.option('by', {
      choices: Object.values(COST_GROUPING),
      default: COST_GROUPING.stage,
      describe: 'what to group by',
    })).example('$0 cost --by account', 'one line for each client account'),
    handler: async (args) => {
      const client = createOperatorClient(args, io);
      const report = await client.callOk<CostReport>('GET', `/operator/v1/cost?by=${args.by}`);
      io.writeOut(args.json ? `${JSON.stringify(report)}\n` : formatCost(report));
    },
  };
}
