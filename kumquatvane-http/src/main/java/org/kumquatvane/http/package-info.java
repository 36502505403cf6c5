/** ServiceTalk server towards callers and client towards backend servers. */
@NullMarked
package org.kumquatvane.http;

import org.jspecify.annotations.NullMarked;
