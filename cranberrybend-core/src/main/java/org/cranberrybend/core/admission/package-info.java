/** Admission and queueing of requests for upstream slots. */
package org.cranberrybend.core.admission;
