import type { CommandModule } from 'yargs';
import type { HostSettings } from '../../settings/HostSettings.ts';
import { loadHostSettings } from '../../settings/loadHostSettings.ts';
import { readSecret } from '../../settings/readSecret.ts';
import type { CliContext, ServeHostOptions } from '../CliContext.ts';

interface ServeArguments {
  readonly settings: string;
}

function readSecrets(
  settings: HostSettings,
  env: Readonly<Record<string, string | undefined>>,
): ServeHostOptions {
  const { operatorKey, peerKey } = settings;
  return {
    settings,
    operatorKey: readSecret({ purpose: 'operatorKey', source: operatorKey, env }),
    peerKey: peerKey === undefined
      ? null
      : readSecret({ purpose: 'peerKey', source: peerKey, env }),
  };
}

/**
 * Creates the command `serve`.
 *
 * @param context - context of the command line
 * @returns the command
 */
export function createServeCommand(
  { io, programs }: CliContext,
): CommandModule<object, ServeArguments> {
  return {
    command: 'serve <settings>',
    describe: 'run an entry host until it receives SIGTERM or Ctrl-C',
    builder: (parser) => parser
      .positional('settings', {
        type: 'string', demandOption: true, describe: 'YAML file with the settings of this host',
      })
      .example('$0 serve /etc/parsleylift/host.yaml', 'stops gracefully on SIGTERM'),
    handler: async ({ settings: file }) => {
      const settings = loadHostSettings(file);
      const host = await programs.serveHost(readSecrets(settings, io.env));
      const stop = (): void => host.stop();
      // The handlers stay installed, so that a second signal does not abort running requests.
      process.on('SIGTERM', stop);
      process.on('SIGINT', stop);
      io.writeError(`${settings.hostId} serves ${host.httpUrl}, peers at ${host.peerAddress}\n`);
      await host.stopped;
      process.off('SIGTERM', stop);
      process.off('SIGINT', stop);
    },
  };
}
