/** JSON responses and their serialization as HTTP/1.1. */
import { STATUS_CODES } from "node:http";

/** The content type of all JSON responses. */
export const JSON_CONTENT_TYPE = "application/json; charset=utf-8";

/** An HTTP response with a JSON body. */
export interface HttpResponse {
  status: number;
  body: object;
}

/** Serializes a response as HTTP/1.1, for a connection that stays open. */
export function responseText({ status, body }: HttpResponse): string {
  const text = JSON.stringify(body);
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nContent-Type: ${JSON_CONTENT_TYPE}\r\n` +
    `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}
