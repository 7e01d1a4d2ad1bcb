/** Collecting, sealing and reporting of usage. */
package org.cranberrybend.controller.usage;
