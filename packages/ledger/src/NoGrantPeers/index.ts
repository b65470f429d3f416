import { GrantPeers, type TransferredTokens } from '../GrantPeers/index.js';

/** For an instance without peers. */
export class NoGrantPeers extends GrantPeers {
  override serve(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }

  override reachable(): undefined {
    return undefined;
  }

  override recall(): Promise<void> {
    return Promise.resolve();
  }

  override requestTokens(): Promise<readonly TransferredTokens[]> {
    return Promise.resolve([]);
  }
}
