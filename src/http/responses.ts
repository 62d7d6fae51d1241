/** JSON responses, as data and as the text of an HTTP/1.1 response. */
import { STATUS_CODES } from "node:http";

/** The content type of all JSON responses. */
export const JSON_CONTENT_TYPE = "application/json; charset=utf-8";

/** A status and a JSON body. */
export interface HttpResponse {
  status: number;
  body: object;
}

/** The whole text of an HTTP/1.1 response on a connection that stays open. */
export function responseText({ status, body }: HttpResponse): string {
  const text = JSON.stringify(body);
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\nContent-Type: ${JSON_CONTENT_TYPE}\r\n` +
    `Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}
