/** Tracks machines recently returned to the cloud, which its lists may still include. */

/** The machines returned in this term that have not expired. */
export class ReturnedMachines {
  /** By host: the steady time of the return, in milliseconds. */
  private readonly returnedAt = new Map<string, number>();

  /** Records the return of a machine. */
  add(host: string, now: number): void {
    this.returnedAt.set(host, now);
  }

  /** Whether the return of a machine is recorded. */
  has(host: string): boolean {
    return this.returnedAt.has(host);
  }

  /** Removes machines that were returned more than `ageMs` ago. */
  expire(ageMs: number, now: number): void {
    for (const [host, returnedAt] of this.returnedAt)
      if (now - returnedAt > ageMs) this.returnedAt.delete(host);
  }

  /** Removes all machines. */
  clear(): void {
    this.returnedAt.clear();
  }
}
