/** Reading of input files. */
@NullMarked
package org.kumquatvane.cli.files;

import org.jspecify.annotations.NullMarked;
