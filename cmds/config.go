package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
)

type configCommand struct {
	Get   configGet   `command:"get" description:"Print the current configuration"`
	Patch configPatch `command:"patch" description:"Apply a JSON merge patch"`
	Log   configLog   `command:"log" description:"Print the IDs of the most recent patches"`
}

func addConfig(p *flags.Parser) error {
	return addCommand(p, "config", "Read and patch the operators' configuration", &configCommand{})
}

type configGet struct{ operatorClient }

// Execute prints the configuration.
func (c *configGet) Execute([]string) error {
	body, err := c.call(fasthttp.MethodGet, "/v1/config", nil)
	if err != nil {
		return err
	}
	return printJSON(body)
}

type configPatch struct {
	operatorClient
	Number uint64 `long:"number" required:"true" description:"number of the configuration that the patch is based on"`
	ID     string `long:"id" description:"patch ID; if the response was lost, send the patch again with the same ID"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"merge patch (JSON), - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute sends the patch and prints the number of the new configuration.
func (c *configPatch) Execute([]string) error {
	patch, err := readPatch(c.Args.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	body, err := c.call(fasthttp.MethodPatch, "/v1/config", patch,
		"If-Match", strconv.Quote(strconv.FormatUint(c.Number, 10)), "Quetzalpier-Patch", c.ID)
	if err != nil {
		return errors.Wrapf(err, "patch %s", c.ID)
	}
	var config quetzalpier.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	fmt.Fprintf(stdout, "patch %s accepted, the configuration is at number %d\n", c.ID, config.Number)
	return nil
}

func readPatch(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Wrap(err, "read patch")
	}
	data, err := os.ReadFile(file)
	return data, errors.Wrap(err, "read patch")
}

type configLog struct{ operatorClient }

// Execute prints the IDs of the most recent patches, each with the number of the
// configuration that it created.
func (c *configLog) Execute([]string) error {
	body, err := c.call(fasthttp.MethodGet, "/v1/config", nil)
	if err != nil {
		return err
	}
	var config quetzalpier.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	first := config.Number - uint64(len(config.PatchIDs)) + 1
	for i, id := range config.PatchIDs {
		fmt.Fprintln(stdout, first+uint64(i), id)
	}
	return nil
}
