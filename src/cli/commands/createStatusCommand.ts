import type { CommandModule } from 'yargs';
import type { HostStatus } from '../../operators/HostStatus.ts';
import type { CliContext } from '../CliContext.ts';
import { formatStatus } from '../formatStatus.ts';
import { addRemoteOptions, createOperatorClient, type RemoteArguments } from '../remoteOptions.ts';

/**
 * Creates the command `status`.
 *
 * @param context - context of the command line
 * @returns the command
 */
export function createStatusCommand({ io }: CliContext): CommandModule<object, RemoteArguments> {
  return {
    command: 'status',
    describe: 'show hosts, pools, failure domains, drains, attainment and cost',
    builder: (parser) => addRemoteOptions(parser)
      .example('$0 status --host http://127.0.0.1:8080', 'prints what this host observes'),
    handler: async (args) => {
      const client = createOperatorClient(args, io);
      const status = await client.callOk<HostStatus>('GET', '/operator/v1/status');
      io.writeOut(args.json ? `${JSON.stringify(status)}\n` : formatStatus(status));
    },
  };
}
