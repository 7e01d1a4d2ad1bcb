/** Measurements of policies on the real decision code, with a small model of engines and callers. */
package org.cranberrybend.experiment;
