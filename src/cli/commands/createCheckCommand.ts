import type { CommandModule } from 'yargs';
import { formatFinding } from '../../settings/formatFinding.ts';
import { loadHostSettings } from '../../settings/loadHostSettings.ts';
import { SettingsError } from '../../settings/SettingsError.ts';
import type { CliContext } from '../CliContext.ts';
import { CliError } from '../CliError.ts';
import { EXIT_CODE } from '../EXIT_CODE.ts';

interface CheckArguments {
  readonly settings: string;
  readonly json: boolean;
}

function formatFindings(error: SettingsError): string {
  const count = error.findings.length;
  const lines = error.findings.map((finding) => `${formatFinding(finding)}\n`).join('');
  return `${lines}${count} ${count === 1 ? 'finding' : 'findings'}`;
}

/**
 * @param context - of the command line
 * @returns the command `check`
 */
export function createCheckCommand({ io }: CliContext): CommandModule<object, CheckArguments> {
  return {
    command: 'check <settings>',
    describe: 'check a settings file; reads no secret and starts nothing',
    builder: (parser) => parser
      .positional('settings', {
        type: 'string', demandOption: true, describe: 'YAML file with the settings of one host',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for scripts' })
      .example('$0 check examples/settings/entry-host.yaml', 'prints all findings at once'),
    handler: ({ settings: file, json }) => {
      try {
        const settings = loadHostSettings(file);
        io.writeOut(json
          ? `${JSON.stringify({ findings: [] })}\n`
          : `${file}: no findings; host ${settings.hostId} in ${settings.failureDomainId}\n`);
      } catch (error) {
        if (!(error instanceof SettingsError)) {
          throw error;
        }
        if (json) {
          io.writeOut(`${JSON.stringify({ findings: error.findings })}\n`);
        }
        throw new CliError(EXIT_CODE.usage, formatFindings(error));
      }
    },
  };
}
