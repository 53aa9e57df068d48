import { type ConnectionLimits, LimitName } from "./types.ts";

/** A connection whose answers may wait to be sent. */
export interface AnsweringConnection {
  /** Returns the bytes of answers that wait to be sent. */
  measureUnsent(): number;
  /** Notes whether answers wait; returns for how long they do, in milliseconds. */
  noteUnsent(bytes: number, now: number): number;
}

/**
 * Lists the connections to close because their callers do not read: those whose answers
 * wait too long, then those with the most bytes until the others are within the limit.
 * A single connection may hold more: its answer is sent, however large it is.
 */
export function listUnread<T extends AnsweringConnection>(
  connections: Iterable<T>,
  { limits, now }: { limits: ConnectionLimits; now: number },
): { connection: T; limit: LimitName }[] {
  const unread: { connection: T; limit: LimitName }[] = [];
  const sizes: { connection: T; bytes: number }[] = [];
  let total = 0;
  for (const connection of connections) {
    const bytes = connection.measureUnsent();
    if (connection.noteUnsent(bytes, now) > limits.answer_ms) {
      unread.push({ connection, limit: LimitName.AnswerTime });
    } else if (bytes > 0) {
      total += bytes;
      sizes.push({ connection, bytes });
    }
  }
  sizes.sort((a, b) => b.bytes - a.bytes);
  while (total > limits.answer_bytes && sizes.length > 1) {
    const { connection, bytes } = sizes.shift()!;
    total -= bytes;
    unread.push({ connection, limit: LimitName.AnswerBytes });
  }
  return unread;
}
