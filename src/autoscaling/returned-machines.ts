/** Machines that were returned to the cloud lately: its lists go on showing them for a while. */

/** The hosts of machines that were returned in this term, and when. */
export class ReturnedMachines {
  /** By host, the steady time of the return. */
  private readonly returnedAt = new Map<string, number>();

  /** Records that a machine was returned. */
  add(host: string, now: number): void {
    this.returnedAt.set(host, now);
  }

  /** Whether a machine was returned lately. */
  has(host: string): boolean {
    return this.returnedAt.has(host);
  }

  /** Forgets machines that were returned longer ago than so many milliseconds. */
  expire(ageMs: number, now: number): void {
    for (const [host, returnedAt] of this.returnedAt)
      if (now - returnedAt > ageMs) this.returnedAt.delete(host);
  }

  /** Forgets all machines. */
  clear(): void {
    this.returnedAt.clear();
  }
}
