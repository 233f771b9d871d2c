import { deepEqual, equal, ok } from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  after, before, describe, it,
} from 'node:test';
import type { Finding } from './Finding.ts';
import { loadHostSettings } from './loadHostSettings.ts';
import { readSecret } from './readSecret.ts';
import { SettingsError } from './SettingsError.ts';

const VALID = `hostId: entry-a1
failureDomainId: domain-a
http: { host: 127.0.0.1, port: 0 }
peers: { host: 127.0.0.1, port: 0 }
platformUrl: http://127.0.0.1:1
operatorKey: { env: KEY }
`;

let folder = '';

function getFindings(text: string): readonly Finding[] {
  const file = join(folder, 'host.yaml');
  writeFileSync(file, text);
  try {
    loadHostSettings(file);
  } catch (error) {
    if (error instanceof SettingsError) {
      return error.findings;
    }
    throw error;
  }
  return [];
}

interface FindingCase {
  readonly name: string;
  readonly text: string;
  readonly path: string;
  readonly line: number;
  readonly column: number;
  readonly value: string;
  readonly message: RegExp;
  readonly cure: RegExp;
}

const CASES: readonly FindingCase[] = [
  {
    name: 'an unknown key with the nearest name',
    text: `${VALID}logLevle: info\n`,
    path: 'logLevle',
    line: 7,
    column: 1,
    value: '',
    message: /unknown key "logLevle"/,
    cure: /did you mean "logLevel"/,
  },
  {
    name: 'a number out of range',
    text: VALID.replace('port: 0', 'port: 70000'),
    path: 'http.port',
    line: 3,
    column: 32,
    value: '70000',
    message: /<= 65535/,
    cure: /<= 65535/,
  },
  {
    name: 'a value of the wrong type',
    text: VALID.replace('port: 0', 'port: often'),
    path: 'http.port',
    line: 3,
    column: 32,
    value: '"often"',
    message: /type integer/,
    cure: /type integer/,
  },
  {
    name: 'a missing key',
    text: VALID.replace('hostId: entry-a1\n', ''),
    path: '',
    line: 1,
    column: 1,
    value: '',
    message: /"hostId" is missing/,
    cure: /add "hostId/,
  },
  {
    name: 'an unknown choice',
    text: `${VALID}logLevel: loud\n`,
    path: 'logLevel',
    line: 7,
    column: 11,
    value: '"loud"',
    message: /"debug" or "info"/,
    cure: /give "debug"/,
  },
  {
    name: 'a peer listener beyond loopback without a key',
    text: VALID.replace('peers: { host: 127.0.0.1', 'peers: { host: 10.0.0.1'),
    path: 'peers.host',
    line: 4,
    column: 16,
    value: '"10.0.0.1"',
    message: /need a "peerKey"/,
    cure: /peerKey/,
  },
  {
    name: 'a duplicate key',
    text: `${VALID}hostId: entry-a2\n`,
    path: '',
    line: 7,
    column: 1,
    value: '',
    message: /not valid YAML: Map keys must be unique/,
    cure: /correct the YAML/,
  },
  {
    name: 'an empty file',
    text: '',
    path: '',
    line: 1,
    column: 1,
    value: 'null',
    message: /type object/,
    cure: /type object/,
  },
];

describe('loadHostSettings', () => {
  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'parsleylift-'));
  });
  after(() => rmSync(folder, { recursive: true }));

  it('accepts valid settings', () => {
    deepEqual(getFindings(VALID), []);
  });

  CASES.forEach((expected) => {
    it(`reports ${expected.name}`, () => {
      const findings = getFindings(expected.text);
      equal(findings.length, 1);
      const [finding] = findings;
      ok(finding);
      const {
        path, line, column, value,
      } = finding;
      deepEqual(
        {
          path, line, column, value,
        },
        {
          path: expected.path, line: expected.line, column: expected.column, value: expected.value,
        },
      );
      ok(expected.message.test(finding.message), finding.message);
      ok(expected.cure.test(finding.cure), finding.cure);
    });
  });

  it('reports all findings at once, in document order', () => {
    const text = `${VALID}extra: 1\n`.replace('port: 0', 'port: -1').replace('http:/', 'ftp:/');
    const findings = getFindings(text);
    deepEqual(findings.map((finding) => finding.line), [3, 5, 7]);
  });

  it('never includes a key that was written into the settings', () => {
    const texts = [
      VALID.replace('{ env: KEY }', 'hunter2'),
      VALID.replace('{ env: KEY }', '{ key: hunter2 }'),
      VALID.replace('operatorKey: { env: KEY }', 'operatorkey: hunter2'),
    ];
    texts.forEach((text) => {
      const findings = getFindings(text);
      ok(findings.length > 0);
      ok(!JSON.stringify(findings).includes('hunter2'));
    });
  });

  it('reports a missing file', () => {
    try {
      loadHostSettings(join(folder, 'none.yaml'));
      ok(false);
    } catch (error) {
      ok(error instanceof SettingsError);
      ok(/ENOENT/.test(error.message));
    }
  });
});

describe('readSecret', () => {
  it('reads a file without its final line end, or an environment variable', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'parsleylift-')), 'key');
    writeFileSync(file, 'hunter2\n');
    equal(readSecret({ purpose: 'operatorKey', source: { file }, env: {} }), 'hunter2');
    const env = { KEY: 'hunter2' };
    equal(readSecret({ purpose: 'operatorKey', source: { env: 'KEY' }, env }), 'hunter2');
  });

  const failures = [
    { name: 'an unset variable', source: { env: 'KEY' }, expected: /KEY is not set/ },
    { name: 'a missing file', source: { file: '/no/such/key' }, expected: /such\/key.*ENOENT/ },
  ];
  failures.forEach(({ name, source, expected }) => {
    it(`names the source of ${name}`, () => {
      try {
        readSecret({ purpose: 'operatorKey', source, env: { OTHER: 'hunter2' } });
        ok(false);
      } catch (error) {
        ok(error instanceof Error);
        ok(expected.test(error.message));
        ok(!error.message.includes('hunter2'));
      }
    });
  });
});
