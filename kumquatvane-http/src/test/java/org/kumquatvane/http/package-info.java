@NullMarked
package org.kumquatvane.http;

import org.jspecify.annotations.NullMarked;
