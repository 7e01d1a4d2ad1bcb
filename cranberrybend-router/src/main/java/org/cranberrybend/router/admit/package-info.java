/** Admission control: validates request bodies and enforces the limits of client accounts. */
package org.cranberrybend.router.admit;
