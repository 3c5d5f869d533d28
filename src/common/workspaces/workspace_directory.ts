/** Looks up the workspace of a caller's key. */
import * as errors from '../errors.js';
import * as workspace from './workspace.js';

/** The key of a request, as read from its headers. */
export type CallerKey =
  | {readonly kind: 'none'}
  | {readonly kind: 'digest'; readonly digest: string}
  /** Empty, too long, or more than one. */
  | {readonly kind: 'malformed'};

/** Whom a request belongs to. */
export type Identity =
  /** The route or the configuration asks for no key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'workspace'; readonly workspace: workspace.Workspace}
  | {readonly kind: 'unknown'};

/** @throws errors.MalformedInputError if a name or a key occurs twice. */
export function checkWorkspaces(
  workspaces: readonly workspace.Workspace[],
): void {
  const names = new Set<string>();
  const digests = new Set<string>();
  for (const {name, keyDigests} of workspaces) {
    if (names.has(name)) throw duplicate('workspace name', name);
    names.add(name);
    for (const digest of keyDigests) {
      if (digests.has(digest)) throw duplicate('key', name);
      digests.add(digest);
    }
  }
}

/** The workspaces of one configuration by their keys. */
export class WorkspaceDirectory {
  private readonly byDigest = new Map<string, workspace.Workspace>();

  /** @param workspaces checked by `checkWorkspaces`. */
  constructor(workspaces: readonly workspace.Workspace[]) {
    for (const item of workspaces) {
      for (const digest of item.keyDigests) this.byDigest.set(digest, item);
    }
  }

  /** Returns the workspace that holds the key, if any. */
  identify(key: CallerKey): Identity {
    if (key.kind !== 'digest') return {kind: 'unknown'};
    const found = this.byDigest.get(key.digest);
    return found === undefined
      ? {kind: 'unknown'}
      : {kind: 'workspace', workspace: found};
  }
}

function duplicate(what: string, name: string): errors.MalformedInputError {
  return new errors.MalformedInputError(`duplicate ${what}`, {
    step: 'check workspaces',
    peer: name,
  });
}
