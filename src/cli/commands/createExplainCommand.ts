import type { CommandModule } from 'yargs';
import type { RequestExplanation } from '../../operators/RequestExplanation.ts';
import type { CliContext } from '../CliContext.ts';
import { formatTable } from '../formatTable.ts';
import { addRemoteOptions, createOperatorClient, type RemoteArguments } from '../remoteOptions.ts';

interface ExplainArguments extends RemoteArguments {
  readonly requestId: string;
}

function formatExplanation(explanation: RequestExplanation): string {
  const {
    requestId, accountId, pipelineId, outcome, lines,
  } = explanation;
  const rows = lines.map((line) => [Math.round(line.afterMs), line.decision, line.detail]);
  return `request ${requestId} of ${accountId}, pipeline ${pipelineId}: ${outcome}\n${
    formatTable(['ms', 'decision', 'detail'], rows)}`;
}

/**
 * @param context - of the command line
 * @returns the command `explain`
 */
export function createExplainCommand({ io }: CliContext): CommandModule<object, ExplainArguments> {
  return {
    command: 'explain <requestId>',
    describe: 'show why a request ran where it ran, or why it did not run',
    builder: (parser) => addRemoteOptions(parser.positional('requestId', {
      type: 'string', demandOption: true, describe: 'as given to the caller',
    })).example('$0 explain 9b2e...', 'ask the host that took the request'),
    handler: async (args) => {
      const path = `/operator/v1/requests/${encodeURIComponent(args.requestId)}/explanation`;
      const explanation = await createOperatorClient(args, io)
        .callOk<RequestExplanation>('GET', path);
      io.writeOut(args.json
        ? `${JSON.stringify(explanation)}\n`
        : formatExplanation(explanation));
    },
  };
}
