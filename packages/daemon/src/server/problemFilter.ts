/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Formats errors of control requests as problem+json. */

import { type ArgumentsHost, Catch, type ExceptionFilter, HttpException } from '@nestjs/common';
import { errorResponse } from '@gentiandrum/core';
import { kProblemMediaType } from '@gentiandrum/protocol';
import type { FastifyReply } from 'fastify';

const kServerError = 500;

@Catch()
export class ProblemFilter implements ExceptionFilter {
  catch(err: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const status = err instanceof HttpException ? err.getStatus() : kServerError;
    void reply
      .header('content-type', kProblemMediaType)
      .code(status)
      .send(Buffer.from(JSON.stringify(problemBody(err, status))));
  }
}

function problemBody(err: unknown, status: number): unknown {
  const response = err instanceof HttpException ? err.getResponse() : undefined;
  if (typeof response === 'object' && 'kind' in response) {
    return response;
  }
  const kind = status < kServerError ? 'bad_request' : 'internal_error';
  const { title } = errorResponse(kind);
  return { type: `urn:gentiandrum:error:${kind}`, title, status, kind, detail: err instanceof Error ? err.message : String(err) };
}
