import test from 'ava';
import { linkSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { loadOrStoreVoters } from '../../node/votersFile.js';

const voters = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
const tornText = '["10.0.';

const withFolder = (run: (folder: string) => void): void => {
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-voters-'));
  try {
    run(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
};

test('the first start stores the voters, and later starts return them', (t) => {
  withFolder((folder) => {
    t.deepEqual(loadOrStoreVoters(folder, voters, true), voters);
    t.deepEqual(loadOrStoreVoters(folder, ['10.0.0.9'], false), voters);
  });
});

test('a start that is not the first returns no voters if none are stored', (t) => {
  withFolder((folder) => {
    t.deepEqual(loadOrStoreVoters(folder, voters, false), []);
  });
});

// Guards against a founding voter that a power loss during its first start turns into a learner.
test('the voters are stored in one step, not written into an existing file', (t) => {
  withFolder((folder) => {
    writeFileSync(join(folder, 'voters.json'), tornText);
    linkSync(join(folder, 'voters.json'), join(folder, 'previous'));
    t.deepEqual(loadOrStoreVoters(folder, voters, true), voters);
    t.is(readFileSync(join(folder, 'previous'), 'utf8'), tornText);
    t.deepEqual(loadOrStoreVoters(folder, [], false), voters);
  });
});
