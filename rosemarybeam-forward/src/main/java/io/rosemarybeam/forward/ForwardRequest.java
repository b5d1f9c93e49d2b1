package io.rosemarybeam.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.routing.Route;

/**
 * A request that is to run at an endpoint. Immutable, provided that headers and array are not changed.
 *
 * @param id id of the caller's attempt
 * @param route the route that it was selected by
 * @param service the service of the route that runs it
 * @param method the method
 * @param uri path and query
 * @param headers the caller's headers
 * @param body the body
 * @param deadline steady time at which the caller or the route gives up, in milliseconds
 * @param configurationVersion the configuration that selected the route
 */
public record ForwardRequest(
        String id,
        Route route,
        ServiceName service,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        long deadline,
        long configurationVersion) {}
