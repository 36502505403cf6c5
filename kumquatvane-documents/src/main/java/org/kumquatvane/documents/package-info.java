/** Parses configuration documents and computes their digests. */
@NullMarked
package org.kumquatvane.documents;

import org.jspecify.annotations.NullMarked;
