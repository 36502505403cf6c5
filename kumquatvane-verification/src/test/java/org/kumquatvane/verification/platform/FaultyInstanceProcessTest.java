package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.verification.process.Conditions;

/**
 * Guards against bytes of a faulty instance that reach a caller as a success or as the response to
 * another request, and against those without end that fill the memory of the VM or keep a slot.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FaultyInstanceProcessTest {
  private static final int INSTANCES = 13;
  private static final int REQUESTS_PER_INSTANCE = 4;
  private static final int PARALLEL_REQUESTS = INSTANCES * REQUESTS_PER_INSTANCE;
  private static final String CHUNK = "x".repeat(8_192);

  private PlatformFleet fleet;
  private final List<RawInstance> instances = new ArrayList<>();

  /** Bytes that have no end until the VM closes the connection. */
  enum EndlessBytes {
    GARBAGE {
      @Override
      void write(String id, OutputStream output) throws IOException {
        repeat(output, CHUNK);
      }
    },
    HEAD_WITHOUT_LINE_END {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, "HTTP/1.1 200 OK\r\nX-Long: ");
        repeat(output, CHUNK);
      }
    },
    HEAD_OF_MANY_FIELDS {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, "HTTP/1.1 200 OK\r\n");
        for (long i = 0; ; i++) {
          RawInstance.write(output, ("X-" + i + ": " + i + "\r\n").repeat(50));
        }
      }
    },
    INTERIM_RESPONSES {
      @Override
      void write(String id, OutputStream output) throws IOException {
        repeat(output, "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
      }
    },
    BODY_WITHOUT_LENGTH {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, RawInstance.head(id, ""));
        repeat(output, CHUNK);
      }
    },
    BODY_IN_CHUNKS {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, RawInstance.head(id, "Transfer-Encoding: chunked\r\n"));
        repeat(output, "2000\r\n" + CHUNK + "\r\n");
      }
    },
    CHUNK_SIZE_WITHOUT_LINE_END {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, RawInstance.head(id, "Transfer-Encoding: chunked\r\n"));
        repeat(output, "0".repeat(8_192));
      }
    },
    TRAILERS {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(
            output, RawInstance.head(id, "Transfer-Encoding: chunked\r\n") + "4\r\ndone\r\n0\r\n");
        for (long i = 0; ; i++) {
          RawInstance.write(output, ("X-" + i + ": " + i + "\r\n").repeat(50));
        }
      }
    },
    HUGE_DECLARED_LENGTH {
      @Override
      void write(String id, OutputStream output) throws IOException {
        RawInstance.write(output, RawInstance.head(id, "Content-Length: 9000000000000000000\r\n"));
        repeat(output, CHUNK);
      }
    },
    SLOW_HEAD {
      @Override
      void write(String id, OutputStream output) throws IOException, InterruptedException {
        RawInstance.write(output, "HTTP/1.1 200 OK\r\nX-Slow: ");
        repeatSlowly(output);
      }
    },
    SLOW_BODY {
      @Override
      void write(String id, OutputStream output) throws IOException, InterruptedException {
        RawInstance.write(output, RawInstance.head(id, "Content-Length: 1000000\r\n"));
        repeatSlowly(output);
      }
    };

    private static final long SLOW_INTERVAL_MILLIS = 500;

    abstract void write(String id, OutputStream output) throws IOException, InterruptedException;

    private static void repeat(OutputStream output, String bytes) throws IOException {
      while (!Thread.currentThread().isInterrupted()) {
        RawInstance.write(output, bytes);
      }
    }

    private static void repeatSlowly(OutputStream output) throws IOException, InterruptedException {
      while (!Thread.currentThread().isInterrupted()) {
        RawInstance.write(output, "x");
        Thread.sleep(SLOW_INTERVAL_MILLIS);
      }
    }
  }

  @BeforeAll
  void startFleet() throws IOException {
    fleet = new PlatformFleet(1, 1);
  }

  @AfterAll
  void stopFleet() {
    fleet.close();
  }

  @BeforeEach
  void startInstances() throws IOException {
    if (!fleet.vm(0).process().isAlive()) {
      // An earlier case terminated the VM; the other cases still have to show their own result.
      fleet.close();
      startFleet();
    }
    for (int i = 0; i < INSTANCES; i++) {
      RawInstance instance = new RawInstance((id, output) -> {});
      instances.add(instance);
      fleet.store().put("servers/raw-" + i, instance.storeEntry("faulty", REQUESTS_PER_INSTANCE));
    }
  }

  @AfterEach
  void stopInstances() throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      fleet.store().remove("servers/raw-" + i);
      instances.get(i).close();
    }
    instances.clear();
  }

  /** Sends a request; returns 0 if the response was visibly broken off. */
  private int statusOfFaultyRequest() throws InterruptedException {
    try {
      return fleet.send(fleet.vm(0), "GET", "/faulty/1").statusCode();
    } catch (IOException brokenOff) {
      return 0;
    }
  }

  private void respondAndAwait(RawInstance.Responder responder) {
    AtomicInteger reached = new AtomicInteger();
    RawInstance.Responder counting =
        (id, output) -> {
          reached.incrementAndGet();
          responder.respond(id, output);
        };
    instances.forEach(instance -> instance.setResponder(counting));
    Conditions.await(
        "a request reaches the instance",
        () -> {
          assertTrue(fleet.vm(0).process().isAlive(), "the VM has exited");
          statusOfFaultyRequest();
          return reached.get() > 0;
        },
        fleet.vm(0)::log);
  }

  /**
   * Many instances at once send bytes without end. Each caller gets a failure or a response that is
   * visibly broken off, all connections are closed, and the VM, with the heap of the deploy file,
   * serves on.
   */
  @ParameterizedTest
  @EnumSource(EndlessBytes.class)
  void bytesWithoutEndNeitherSucceedNorStopVm(EndlessBytes bytes) throws Exception {
    respondAndAwait(bytes::write);
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int i = 0; i < PARALLEL_REQUESTS; i++) {
      calls.add(
          fleet
              .client()
              .sendAsync(
                  fleet.createRequest(
                      fleet.vm(0),
                      "GET",
                      "/faulty/1",
                      PlatformFleet.KEY,
                      UUID.randomUUID().toString()),
                  HttpResponse.BodyHandlers.ofString()));
    }
    for (CompletableFuture<HttpResponse<String>> call : calls) {
      try {
        assertNotEquals(200, call.get().statusCode());
      } catch (ExecutionException brokenOff) {
        assertTrue(brokenOff.getCause() instanceof IOException, brokenOff::toString);
      }
    }
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
    Conditions.await(
        "the VM closes the connections",
        () -> instances.stream().allMatch(instance -> instance.runningResponses() == 0),
        fleet.vm(0)::log);
    Conditions.await(
        "the VM serves other requests",
        () -> fleet.send(fleet.vm(0), "GET", "/lookups/1").statusCode() == 200,
        fleet.vm(0)::log);
  }

  /** A second copy of a response, in time or late, must not answer the next request. */
  @ParameterizedTest
  @ValueSource(longs = {0, 20, 300})
  void secondCopyIsNotGivenToNextRequest(long delayMillis) throws Exception {
    respondAndAwait(
        (id, output) -> {
          String copy = RawInstance.head(id, "Content-Length: " + id.length() + "\r\n") + id;
          RawInstance.write(output, copy);
          Thread.sleep(delayMillis);
          RawInstance.write(output, copy);
        });
    for (int i = 0; i < 30; i++) {
      String id = UUID.randomUUID().toString();
      HttpResponse<String> response =
          fleet.send(fleet.vm(0), "GET", "/faulty/1", PlatformFleet.KEY, id);
      assertTrue(
          response.statusCode() != 200 || response.body().equals(id),
          "request " + id + " got " + response.body());
    }
  }

  /**
   * A late extra response that names no request belongs to none, so neither its failure nor its
   * promise that the request did not run may be passed on.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
      })
  void responseWithoutRequestIdIsNotPassedOn(String response) throws Exception {
    respondAndAwait((id, output) -> RawInstance.write(output, response));
    HttpResponse<String> received = fleet.send(fleet.vm(0), "POST", "/faulty-bookings/1");
    assertEquals(502, received.statusCode());
  }

  /** A response that ends early must not look complete, whatever its framing. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 400000\r\n",
        "Content-Length: 40\r\n",
        "Transfer-Encoding: chunked\r\n",
      })
  void responseThatEndsEarlyIsNoSuccess(String framing) throws Exception {
    String begin = framing.startsWith("T") ? "28\r\nabc" : "abc";
    respondAndAwait(
        (id, output) -> {
          RawInstance.write(output, RawInstance.head(id, framing) + begin);
          throw new IOException("end of the connection");
        });
    assertNotEquals(200, statusOfFaultyRequest());
  }

  @Test
  void slowCallersOfLargeResponsesDoNotExhaustMemory() throws Exception {
    String body = "y".repeat(540_000);
    respondAndAwait(
        (id, output) ->
            RawInstance.write(
                output, RawInstance.head(id, "Content-Length: " + body.length() + "\r\n") + body));
    SlowCallers callers = new SlowCallers(fleet.vm(0).callerPort(), "/faulty/1", 200);
    callers.sendAll();
    assertTrue(fleet.vm(0).process().isAlive(), fleet.vm(0)::log);
    assertEquals(200, fleet.send(fleet.vm(0), "GET", "/lookups/1").statusCode());
    callers.close();
  }
}
