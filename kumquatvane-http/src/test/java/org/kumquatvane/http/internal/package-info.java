@NullMarked
package org.kumquatvane.http.internal;

import org.jspecify.annotations.NullMarked;
