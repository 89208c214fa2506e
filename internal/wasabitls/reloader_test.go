package wasabitls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabitls"
)

func TestTLS(t *testing.T) { wasabitest.Run(t, "tls") }

// writePair writes a self-signed certificate and its key.
func writePair(files wasabisettings.TLS, serial int64) *x509.Certificate {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "wasabi"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(files.CertificateFile, "CERTIFICATE", der)
	writePEM(files.KeyFile, "EC PRIVATE KEY", keyDER)
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return certificate
}

func writePEM(file, kind string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

func filesIn(dir string) wasabisettings.TLS {
	return wasabisettings.TLS{CertificateFile: filepath.Join(dir, "a.pem"), KeyFile: filepath.Join(dir, "a.key")}
}

// serve starts a server and returns a function that opens a new connection to it and
// returns the serial number of its certificate.
func serve(k *wasabitls.CertReloader, client *tls.Config) func() (int64, error) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ErrorLog = nil
	server.Listener = tls.NewListener(server.Listener, k.Config())
	server.Start()
	DeferCleanup(server.Close)
	address := server.Listener.Addr().String()
	return func() (int64, error) {
		conn, err := tls.Dial("tcp", address, client)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		// With TLS 1.3 the client learns at its first read that the server rejected
		// its certificate.
		if _, err = conn.Write([]byte("GET / HTTP/1.0\r\n\r\n")); err != nil {
			return 0, err
		}
		if _, err = conn.Read(make([]byte, 1)); err != nil {
			return 0, err
		}
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
	}
}

var _ = Describe("certificates", func() {
	It("are reloaded when their files change, and stay in use when the new files are invalid", func() {
		files := filesIn(GinkgoT().TempDir())
		writePair(files, 1)
		clock := wasabiclock.NewVirtual(0)
		k, err := wasabitls.New(wasabitls.Options{Files: files, Clock: clock})
		Expect(err).NotTo(HaveOccurred())
		serialNumber := serve(k, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the test reads only the serial number
		Expect(serialNumber()).To(Equal(int64(1)))

		writePair(files, 2)
		Expect(serialNumber()).To(Equal(int64(1)), "files are checked once a second")
		clock.Advance(2 * wasabiridge.Second)
		Expect(serialNumber()).To(Equal(int64(2)))

		Expect(os.WriteFile(files.KeyFile, []byte("half a key"), 0o600)).To(Succeed())
		clock.Advance(2 * wasabiridge.Second)
		Expect(serialNumber()).To(Equal(int64(2)))

		writePair(files, 3)
		clock.Advance(2 * wasabiridge.Second)
		Expect(serialNumber()).To(Equal(int64(3)))
	})

	It("of clients are required when the settings name their authorities", func() {
		files := filesIn(GinkgoT().TempDir())
		authority := writePair(files, 1)
		files.ClientCAFile = files.CertificateFile
		k, err := wasabitls.New(wasabitls.Options{Files: files, Clock: wasabiclock.NewVirtual(0)})
		Expect(err).NotTo(HaveOccurred())
		roots := x509.NewCertPool()
		roots.AddCert(authority)
		_, err = serve(k, &tls.Config{RootCAs: roots})()
		Expect(err).To(HaveOccurred())
		pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(serve(k, &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{pair}})()).To(Equal(int64(1)))
	})

	It("that do not exist are rejected by New", func() {
		_, err := wasabitls.New(wasabitls.Options{Files: filesIn(GinkgoT().TempDir()), Clock: wasabiclock.NewVirtual(0)})
		Expect(err).To(MatchError(ContainSubstring("a.pem")))
	})
})
