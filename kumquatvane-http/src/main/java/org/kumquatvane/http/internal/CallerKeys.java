package org.kumquatvane.http.internal;

import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.Reason;
import org.kumquatvane.engine.PresentedKey;

/** Extracts the caller's key and detects keys outside the Authorization header. */
public final class CallerKeys {
  private static final Pattern KEY = Pattern.compile("kv1_[A-Za-z0-9_-]{43}");
  private static final String SCHEME = "Bearer ";
  private static final String KEY_PREFIX = "kv1_";

  private CallerKeys() {}

  /**
   * Extracts the key of a request.
   *
   * @param headers header fields of the request
   * @param requestTarget raw request target
   * @return the digest of the key, or why the request has no usable key
   */
  static PresentedKey read(HttpHeaders headers, String requestTarget) {
    Iterator<? extends CharSequence> values = headers.valuesIterator(HttpHeaderNames.AUTHORIZATION);
    if (!values.hasNext()) {
      return unusable(
          isPresentElsewhere(headers, requestTarget) ? Reason.KEY_MISPLACED : Reason.KEY_MISSING);
    }
    String value = values.next().toString();
    if (values.hasNext()) {
      return unusable(Reason.KEY_DUPLICATED);
    }
    if (isPresentElsewhere(headers, requestTarget)) {
      return unusable(Reason.KEY_MISPLACED);
    }
    if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return unusable(Reason.KEY_MALFORMED);
    }
    String key = value.substring(SCHEME.length()).trim();
    return KEY.matcher(key).matches()
        ? new PresentedKey.Present(KeyDigest.ofKey(key))
        : unusable(Reason.KEY_MALFORMED);
  }

  /**
   * Returns whether a text contains a possible key, plain or percent-encoded.
   *
   * @param text a header value or request target
   * @return whether the text must not reach a backend server
   */
  public static boolean mayContainKey(CharSequence text) {
    String raw = text.toString();
    return raw.contains(KEY_PREFIX)
        || (raw.indexOf('%') >= 0 && PercentEncoding.decodeFully(raw).contains(KEY_PREFIX));
  }

  private static boolean isPresentElsewhere(HttpHeaders headers, String requestTarget) {
    if (mayContainKey(requestTarget)) {
      return true;
    }
    for (Map.Entry<CharSequence, CharSequence> field : headers) {
      boolean isAuthorization =
          HttpHeaderNames.AUTHORIZATION.toString().contentEquals(lowerCase(field.getKey()));
      if (mayContainKey(field.getKey()) || (!isAuthorization && mayContainKey(field.getValue()))) {
        return true;
      }
    }
    return false;
  }

  private static String lowerCase(CharSequence name) {
    return name.toString().toLowerCase(java.util.Locale.ROOT);
  }

  private static PresentedKey unusable(Reason reason) {
    return new PresentedKey.Unusable(reason);
  }
}
