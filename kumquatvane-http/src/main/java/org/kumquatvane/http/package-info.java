/** HTTP server for callers and HTTP client for backend servers, based on ServiceTalk. */
@NullMarked
package org.kumquatvane.http;

import org.jspecify.annotations.NullMarked;
