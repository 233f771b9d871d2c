import type { CommandModule } from 'yargs';
import { explainFromLogs, type LogExplanation } from '../../explain/explainFromLogs.ts';
import { readLogFiles } from '../../explain/readLogFiles.ts';
import type { RequestExplanation } from '../../operators/RequestExplanation.ts';
import type { CliContext } from '../CliContext.ts';
import { formatTable } from '../formatTable.ts';
import { addRemoteOptions, createOperatorClient, type RemoteArguments } from '../remoteOptions.ts';

interface ExplainArguments extends RemoteArguments {
  readonly requestId: string;
  /** Log files to read instead of querying a host. */
  readonly logs: readonly string[] | undefined;
}

function formatExplanation(explanation: RequestExplanation): string {
  const {
    requestId, accountId, pipelineId, outcome, lines,
  } = explanation;
  const rows = lines.map((line) => [Math.round(line.afterMs), line.decision, line.detail]);
  return `request ${requestId} of ${accountId}, pipeline ${pipelineId}: ${outcome}\n${
    formatTable(['ms', 'decision', 'detail'], rows)}`;
}

function formatLogExplanation(explanation: LogExplanation): string {
  const {
    requestId, outcome, cause, decidingLine, lines,
  } = explanation;
  const startMs = lines.find((line) => line.requestId === requestId)?.atMs ?? 0;
  const rows = lines.map((line) => [
    line === decidingLine ? '>' : '',
    Math.round(line.atMs - startMs),
    line.source,
    line.event,
    JSON.stringify(line.details),
  ]);
  return `request ${requestId}: ${outcome ?? 'outcome not known'}. ${cause}\n${
    formatTable(['', 'ms', 'log', 'event', 'details'], rows)}`;
}

async function explainLogs(
  { requestId, logs, json }: ExplainArguments,
  io: CliContext['io'],
): Promise<void> {
  const explanation = explainFromLogs(requestId, await readLogFiles(logs ?? [], requestId));
  io.writeOut(json ? `${JSON.stringify(explanation)}\n` : formatLogExplanation(explanation));
}

/**
 * Creates the command `explain`.
 *
 * @param context - context of the command line
 * @returns the command
 */
export function createExplainCommand({ io }: CliContext): CommandModule<object, ExplainArguments> {
  return {
    command: 'explain <requestId>',
    describe: 'show why a request ran where it ran, or why it did not run',
    builder: (parser) => addRemoteOptions(parser.positional('requestId', {
      type: 'string', demandOption: true, describe: 'request id returned to the caller',
    }).option('logs', {
      type: 'string', array: true, describe: 'log files to read instead of querying a host',
    })).example('$0 explain 9b2e...', 'queries the host that accepted the request')
      .example('$0 explain 9b2e... --logs *.log', 'reads only the logs of the hosts'),
    handler: async (args) => {
      if (args.logs !== undefined) {
        await explainLogs(args, io);
        return;
      }
      const path = `/operator/v1/requests/${encodeURIComponent(args.requestId)}/explanation`;
      const explanation = await createOperatorClient(args, io)
        .callOk<RequestExplanation>('GET', path);
      io.writeOut(args.json
        ? `${JSON.stringify(explanation)}\n`
        : formatExplanation(explanation));
    },
  };
}
