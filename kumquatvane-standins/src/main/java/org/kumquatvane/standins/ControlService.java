package org.kumquatvane.standins;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kumquatvane.standins.internal.Responses;

/**
 * HTTP service that controls the stand-ins of one process.
 *
 * <pre>
 * GET  /control/state
 * POST /control/platform/values/{name}[?view=n]            body is the value
 * POST /control/platform/vms/{id}?role=&amp;service=&amp;address=&amp;failureDomain=&amp;state=
 * POST /control/platform/vms/{id}/state?to=live|leaving
 * POST /control/platform/vms/{id}/remove
 * POST /control/platform/views/{n}?availability=&amp;vmListLagMillis=&amp;revisionsBehind=
 * GET  /control/backends/{id}/requests
 * POST /control/backends/{id}/parameters?NAME=number&amp;...
 * POST /control/backends/{id}/crash
 * POST /control/backends/{id}/restart
 * </pre>
 */
final class ControlService implements StreamingHttpService {
  private final List<PlatformStandIn> platforms;
  private final Map<String, BackendStandIn> backends = new LinkedHashMap<>();

  /**
   * Creates the service.
   *
   * @param platforms the platform, or an empty list
   * @param backends the instances
   */
  ControlService(List<PlatformStandIn> platforms, List<BackendStandIn> backends) {
    this.platforms = List.copyOf(platforms);
    backends.forEach(backend -> this.backends.put(backend.id(), backend));
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    return request.toRequest().map(fullRequest -> createResponse(fullRequest, responses));
  }

  private StreamingHttpResponse createResponse(
      HttpRequest request, StreamingHttpResponseFactory responses) {
    List<String> path = new ArrayList<>(List.of(request.path().split("/", -1)));
    boolean isPost = request.method().name().equals("POST");
    try {
      if (isPost && request.path().startsWith("/control/platform/") && !platforms.isEmpty()) {
        changePlatform(platforms.get(0), path.subList(3, path.size()), request);
        return Responses.withText(responses, 200, "done");
      }
      if (request.path().startsWith("/control/backends/")) {
        BackendStandIn backend = backends.get(path.get(3));
        if (backend != null && !isPost && path.get(4).equals("requests")) {
          return Responses.withBody(responses, 200, Responses.renderJson(backend::writeRequests));
        }
        if (backend != null && isPost) {
          changeBackend(backend, path.get(4), request);
          return Responses.withText(responses, 200, "done");
        }
      }
      return request.path().equals("/control/state")
          ? Responses.withBody(responses, 200, state())
          : Responses.withText(responses, 404, "no such control");
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      return Responses.withText(responses, 400, "malformed control call: " + e.getMessage());
    }
  }

  private byte[] state() {
    return Responses.renderJson(
        json -> {
          json.writeStartObject();
          json.writeFieldName("platforms");
          json.writeStartArray();
          for (PlatformStandIn platform : platforms) {
            platform.writeState(json);
          }
          json.writeEndArray();
          json.writeFieldName("backends");
          json.writeStartArray();
          for (BackendStandIn backend : backends.values()) {
            backend.writeState(json);
          }
          json.writeEndArray();
          json.writeEndObject();
        });
  }

  private static void changePlatform(
      PlatformStandIn platform, List<String> path, HttpRequest request) {
    String name = path.get(1);
    String change = path.get(0) + (path.size() == 2 ? "" : "/" + path.get(2));
    switch (change) {
      case "values" -> {
        byte[] content = new byte[request.payloadBody().readableBytes()];
        request.payloadBody().readBytes(content);
        if (request.hasQueryParameter("view")) {
          platform.putValue(Integer.parseInt(parameter(request, "view", "0")), name, content);
        } else {
          platform.putValue(name, content);
        }
      }
      case "vms" -> {
        platform.putVm(
            new PlatformVm(
                name,
                parameter(request, "role", "backend"),
                request.queryParameter("service"),
                parameter(request, "address", ""),
                parameter(request, "failureDomain", "a"),
                parameter(request, "state", "live")));
      }
      case "vms/state" -> platform.setVmState(name, parameter(request, "to", "leaving"));
      case "vms/remove" -> platform.removeVm(name);
      case "views" -> {
        platform.setViewFaults(
            Integer.parseInt(name),
            Availability.valueOf(
                parameter(request, "availability", "ANSWERING").toUpperCase(Locale.ROOT)),
            Long.parseLong(parameter(request, "vmListLagMillis", "0")),
            Integer.parseInt(parameter(request, "revisionsBehind", "0")));
      }
      default -> throw new IllegalArgumentException(change);
    }
  }

  private static void changeBackend(BackendStandIn backend, String change, HttpRequest request) {
    switch (change) {
      case "parameters" -> {
        for (Map.Entry<String, String> parameter : request.queryParameters()) {
          backend.set(
              BackendParameter.valueOf(parameter.getKey().toUpperCase(Locale.ROOT)),
              Double.parseDouble(parameter.getValue()));
        }
      }
      case "crash" -> backend.crash();
      case "restart" -> backend.restart();
      default -> throw new IllegalArgumentException(change);
    }
  }

  private static String parameter(HttpRequest request, String name, String defaultValue) {
    String value = request.queryParameter(name);
    return value == null ? defaultValue : value;
  }
}
